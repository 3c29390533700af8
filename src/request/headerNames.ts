import type { HeaderNames } from './Types';

/** The product's own names, where the settings choose no others. */
const OWN_HEADER_NAMES: HeaderNames = {
  requestId: 'x-azurestream-request-id',
  deadlineMs: 'x-azurestream-deadline-ms',
  callerService: 'x-azurestream-caller-service',
  expectedInstance: 'x-azurestream-expected-instance',
  notExecuted: 'x-azurestream-not-executed',
  signature: undefined,
};

export default OWN_HEADER_NAMES;
