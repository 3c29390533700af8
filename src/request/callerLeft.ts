/** Cancellation reason of a call whose caller closed its connection. */
const CALLER_LEFT = Symbol('the caller left');

export default CALLER_LEFT;
