import { decodeHeader } from '../common/headerText';
import type { HostMatching } from './Types';

/** Port that a Host header may leave out. */
const DEFAULT_PORT = 80;
const BARE_IPV6 = /^[\da-f]*:[\da-f]*:[\da-f:.]*$/;
const PORT = /:(\d*)$/;

/** A host name or literal address, and its port if it has one. */
interface HostAndPort {
  readonly name: string;
  readonly port: number | undefined;
}

function split(host: string): HostAndPort {
  const lowerCase = host.toLowerCase();
  if (!lowerCase.includes(':')) return { name: lowerCase, port: undefined };
  if (BARE_IPV6.test(lowerCase)) return { name: `[${lowerCase}]`, port: undefined };
  const match = PORT.exec(lowerCase);
  if (!match) return { name: lowerCase, port: undefined };
  return {
    name: lowerCase.slice(0, match.index),
    port: match[1] === '' ? undefined : Number(match[1]),
  };
}

function format({ name, port }: HostAndPort): string {
  return port === undefined ? name : `${name}:${port}`;
}

/**
 * Matches hosts as RFC 9110 compares them: the port is a part of the host, letter case isn't, and a missing port is
 * the default one. A route whose host has no port is for the calls to all ports that have no routes of their own.
 *
 * @see https://www.rfc-editor.org/rfc/rfc9110#section-4.2.3
 */
export default class PortAwareHosts implements HostMatching {
  public routeKey(host: string): string {
    return format(split(host));
  }

  public callKeys(host: string): readonly string[] {
    const { name, port } = split(decodeHeader(host));
    return port === undefined
      ? [name, format({ name, port: DEFAULT_PORT })]
      : [format({ name, port }), name];
  }
}
