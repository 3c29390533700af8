import LogUnavailableError from './LogUnavailableError';

/** The log or store did not respond in time. */
export default class LogTimeoutError extends LogUnavailableError {}
