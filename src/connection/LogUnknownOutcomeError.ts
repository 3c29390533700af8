import LogError from './LogError';

/** No usable response to an append, whose record may have been stored, or may still be. */
export default class LogUnknownOutcomeError extends LogError {}
