import CallError from './CallError';

/** The upstream may have run the attempt. */
export default class UnknownOutcomeError extends CallError {}
