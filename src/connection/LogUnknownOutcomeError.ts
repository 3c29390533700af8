import LogError from './LogError';

/** An append may have taken effect, or may still do so. */
export default class LogUnknownOutcomeError extends LogError {}
