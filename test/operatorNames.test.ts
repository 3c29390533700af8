import { createServer, type IncomingHttpHeaders, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { request } from 'undici';
import Fleet, { eventually } from '../stand-in/Fleet';
import PlatformStoreServer from '../stand-in/PlatformStoreServer';
import {
  freePort,
  heartbeat,
  OPERATOR_HOST,
  operatorConfiguration,
  SHORT_PERIODS,
  waitUntilAllAlive,
  waitUntilInForce,
} from './support';

const SERVICES = ['Rental Desk', 'rental_desk', 'Ñuñoa "7" \\'] as const;

const ORGANISATIONS = ['Puerto Norte', "Ñuñoa's", 'a/b'] as const;

/** An upstream that keeps the headers of the calls that it ran, by path. */
class NamedUpstream {
  public readonly runs = new Map<string, IncomingHttpHeaders>();

  private readonly server: Server = createServer((message, response) => {
    this.runs.set(message.url!, message.headers);
    const id = message.headers['azurestream-attempt-id'];
    response.writeHead(200, {
      'content-length': 2,
      'azurestream-response-signature': 's',
      ...(id && { 'azurestream-attempt-id': id }),
    });
    response.end('ok');
  });

  public async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  public dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** A configuration with one route to each service, below a route to the first one. */
function configuration(version: number): string {
  const document = JSON.parse(operatorConfiguration(version, SERVICES.length)) as {
    listeners: { rules: { match: unknown; action: { service: string } }[] }[];
  };
  const { rules } = document.listeners[0]!;
  SERVICES.forEach((service, index) => {
    rules[index]!.match = { path_prefix: index === 0 ? '/depot/' : `/depot/${index}/` };
    rules[index]!.action.service = service;
  });
  const clusters = SERVICES.map((name) => ({ name }));
  const tenants = ORGANISATIONS.map((name, index) => ({ name, api_keys: [`clé-${index}`] }));
  return JSON.stringify({ ...document, clusters, tenants });
}

function bytesOf(header: string | string[] | undefined): string {
  return Buffer.from(String(header), 'latin1').toString();
}

// Guards against calls that run at the service of a shorter path, for another organisation or not at all, for the
// names of their services and organisations, and against daemons that don't start beside a service of such a name.
test('calls reach services for their organisations whatever printable characters their names have', async () => {
  const fleet = new Fleet();
  const store = new PlatformStoreServer();
  const upstreams = SERVICES.map(() => new NamedUpstream());
  try {
    fleet.useLog(await store.listen());
    store.put(configuration(1));
    const daemons = await Promise.all(
      SERVICES.map(async (service, index) => {
        const announcements = `127.0.0.1:${await freePort()}`;
        const daemon = await fleet.startDaemon({
          name: `coq ${index}`,
          zone: 'Coq Pass',
          extra: {
            ...SHORT_PERIODS,
            daemon: `${SHORT_PERIODS.daemon}\nservice = '''${service}'''`,
            log: 'kind = "platform"',
            upstream: `lease = "60s"\nannouncements = "${announcements}"`,
          },
        });
        const address = await upstreams[index]!.listen();
        const { status } = await fetch(`http://${announcements}/-/Instances.Heartbeat/i-${index}`, {
          method: 'POST',
          body: heartbeat(address, { service }),
        });
        assert.is(status, 200);
        return daemon;
      }),
    );
    await waitUntilInForce(1, daemons);
    await waitUntilAllAlive(daemons);
    for (const [caller, daemon] of daemons.entries()) {
      for (const [target, { runs }] of upstreams.entries()) {
        const path = target === 0 ? `/depot/${caller}x` : `/depot/${target}/${caller}`;
        await eventually(
          `a call from ${SERVICES[caller]} runs at ${SERVICES[target]}`,
          async () => {
            const { statusCode, body } = await request(
              `http://${daemon.ready.listening.calls}${path}`,
              {
                headers: {
                  host: OPERATOR_HOST,
                  'azurestream-attempt-id': `a-${caller}-${target}`,
                  'api-key': Buffer.from(`clé-${caller}`).toString('latin1'),
                },
              },
            );
            await body.dump();
            return statusCode === 200;
          },
        );
        const headers = runs.get(path);
        assert.is(bytesOf(headers?.['azurestream-caller-service']), SERVICES[caller]);
        assert.is(bytesOf(headers?.['azurestream-tenant']), ORGANISATIONS[caller]);
        assert.is(headers?.['api-key'], undefined);
      }
    }
    assert.equal(
      upstreams.map(({ runs }) => runs.size),
      SERVICES.map(() => SERVICES.length),
    );
  } finally {
    await fleet.dispose();
    for (const upstream of upstreams) upstream.dispose();
    store.dispose();
  }
});

test.run();
