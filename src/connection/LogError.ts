import AzurestreamError from '../common/AzurestreamError';

/** Base of what the log service's adapter throws. */
export default class LogError extends AzurestreamError {}
