/** URL path prefix of the procedures between daemons. */
const PEER_PATH = '/.azurestream';

/** URL path of the liveness endpoint of a daemon. */
export const LIVENESS_PATH = `${PEER_PATH}-alive`;

export default PEER_PATH;
