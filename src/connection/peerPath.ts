/** Path under which a daemon serves its peers' procedures, beside the calls on the same port. */
const PEER_PATH = '/.azurestream';

export default PEER_PATH;
