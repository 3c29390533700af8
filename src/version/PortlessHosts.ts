import type { HostMatching } from './Types';

/** Matches hosts without their ports, as the releases did that wrote schema 3 and below. */
export default class PortlessHosts implements HostMatching {
  public routeKey(host: string): string {
    return host.toLowerCase().replace(/:\d+$/, '');
  }

  public callKeys(host: string): readonly string[] {
    return [this.routeKey(host)];
  }
}
