import LogError from './LogError';

/** The log took the request and said no; the same record will be refused again. */
export default class LogRefusedError extends LogError {}
