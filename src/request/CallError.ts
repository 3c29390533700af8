import AzurestreamError from '../common/AzurestreamError';

/** Base class of the errors that end an attempt or a call without a complete response. */
export default class CallError extends AzurestreamError {}
