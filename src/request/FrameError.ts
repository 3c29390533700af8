import AzurestreamError from '../common/AzurestreamError';

/** A frame received from another daemon is malformed. */
export default class FrameError extends AzurestreamError {}
