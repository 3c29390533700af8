/** Statuses with which an upstream says that it failed, so that another may do better. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([500, 502, 503]);

export default RETRIED_STATUSES;
