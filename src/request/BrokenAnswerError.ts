import CallError from './CallError';

/** The body of an answer broke off after its head had come. */
export default class BrokenAnswerError extends CallError {}
