import LogError from './LogError';

/**
 * The log sent no usable response to an append; the record may have been stored already, or may be
 * stored later.
 */
export default class LogUnknownOutcomeError extends LogError {}
