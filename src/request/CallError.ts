import AzurestreamError from '../common/AzurestreamError';

/** Base of what ends an attempt without an answer. */
export default class CallError extends AzurestreamError {}
