const HOST_AND_PORT = /^(\[[0-9a-f:.]+\]|[a-z0-9.-]+):([1-9]\d{0,4})$/i;
const MAX_PORT = 65_535;

/**
 * @param text - Text from another process.
 * @returns Whether it is a host and a port that can be connected to. Node throws at once on others.
 */
export default function isAddress(text: string): boolean {
  const match = HOST_AND_PORT.exec(text);
  if (!match || Number(match[2]) > MAX_PORT) return false;
  // Rejects dotted numbers that are no IPv4 address, and malformed IPv6 addresses.
  return URL.canParse(`http://${text}`);
}
