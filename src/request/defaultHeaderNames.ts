import type { HeaderNames } from './Types';

/** Names of headers on calls and their responses, used unless the platform defines its own. */
const DEFAULT_HEADER_NAMES: HeaderNames = {
  requestId: 'x-azurestream-request-id',
  isRequestIdAlwaysEchoed: false,
  deadlineMs: 'x-azurestream-deadline-ms',
  callerService: 'x-azurestream-caller-service',
  apiKey: 'x-azurestream-api-key',
  organisation: 'x-azurestream-organisation',
  expectedInstance: 'x-azurestream-expected-instance',
  notExecuted: 'x-azurestream-not-executed',
  signature: undefined,
};

export default DEFAULT_HEADER_NAMES;
