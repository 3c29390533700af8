import CallError from './CallError';

/** The deadline of a call passed before a response arrived; the call may have run. */
export default class DeadlineError extends CallError {}
