import LogError from './LogError';

/** The log service rejected the record; a retry of the same record fails too. */
export default class LogRefusedError extends LogError {}
