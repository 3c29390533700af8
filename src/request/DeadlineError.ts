import CallError from './CallError';

/** The call's time ended without an answer; it may have run. */
export default class DeadlineError extends CallError {}
