import AzurestreamError from '../common/AzurestreamError';

/** Thrown when the settings file can't be read or is invalid. */
export default class SettingsError extends AzurestreamError {}
