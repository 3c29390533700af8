import AzurestreamError from '../common/AzurestreamError';

/** A frame from another daemon can't be read. */
export default class FrameError extends AzurestreamError {}
