/** Path below which daemons offer their procedures to each other. */
const PEER_PATH = '/.azurestream';

/** Path at which a daemon says that it answers. */
export const ALIVE_PATH = `${PEER_PATH}-alive`;

export default PEER_PATH;
