import AzurestreamError from '../common/AzurestreamError';

/** The settings file can't be used. */
export default class SettingsError extends AzurestreamError {}
