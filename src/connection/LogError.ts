import AzurestreamError from '../common/AzurestreamError';

/** Base class of errors of the log service's client. */
export default class LogError extends AzurestreamError {}
