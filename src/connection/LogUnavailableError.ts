import LogError from './LogError';

/** A read from the log failed, or an append had no effect; a retry may succeed. */
export default class LogUnavailableError extends LogError {}
