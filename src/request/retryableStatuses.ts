/** HTTP statuses of failed responses after which a call is retried at another upstream. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([500, 502, 503]);

export default RETRYABLE_STATUSES;
