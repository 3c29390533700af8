import CallError from './CallError';

/** The body of a response was truncated or aborted after its head had arrived. */
export default class BrokenAnswerError extends CallError {}
