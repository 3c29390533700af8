import CallError from './CallError';

/** An attempt or a call got no response but may have run. */
export default class UnknownOutcomeError extends CallError {}
