import LogError from './LogError';

/** Nothing took effect, or only a read failed; another try may succeed. */
export default class LogUnavailableError extends LogError {}
