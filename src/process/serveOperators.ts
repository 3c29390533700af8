import type { IncomingMessage, ServerResponse } from 'node:http';
import { json } from 'node:stream/consumers';
import polka from 'polka';
import type Inspection from './Inspection';
import announcementSchema from './announcementSchema';
import type DaemonMetrics from './DaemonMetrics';
import type Listener from './Listener';
import type UpstreamRegistration from './UpstreamRegistration';

/** The components that the control address gives access to. */
export interface OperatorServices {
  readonly inspection: Inspection;
  readonly metrics: DaemonMetrics;
  readonly registration: UpstreamRegistration;
}

function reply(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(`${JSON.stringify(body)}\n`);
}

/**
 * Handles an announcement of the upstream's state; a draining upstream gets its response once its
 * calls have ended.
 */
async function announce(
  registration: UpstreamRegistration,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const result = announcementSchema.safeParse(await json(request).catch(() => undefined));
  if (!result.success) {
    const [issue] = result.error.issues;
    reply(response, 400, { error: `${issue!.path.join('.')}: ${issue!.message}` });
    return;
  }
  await registration.announce(result.data);
  if (result.data.state === 'draining') await registration.whenDrained();
  reply(response, 200, { renewed: true });
}

/**
 * Serves the control address: inspection and metrics for operators, and announcements of the upstream on
 * this VM.
 *
 * @param listener - The server of the control address.
 * @param services - The components that it gives access to.
 */
export default function serveOperators(listener: Listener, services: OperatorServices): void {
  const { inspection, metrics, registration } = services;
  const app = polka({
    onNoMatch: (_request, response) => reply(response, 404, { error: 'no such path' }),
  });
  app.get('/status', (_request, response) => reply(response, 200, inspection.status()));
  app.get('/members', (_request, response) => reply(response, 200, inspection.members()));
  app.get('/folder', (_request, response) => reply(response, 200, inspection.head()));
  app.get('/dump', (_request, response) => reply(response, 200, inspection.dump()));
  app.get('/explain', (request, response) => {
    const { method = 'GET', host = '', path = '/' } = request.query as Record<string, string>;
    reply(response, 200, inspection.explain(method, host, path));
  });
  app.get('/metrics', async (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
    response.end(await metrics.scrape());
  });
  app.put('/upstream', (request, response) => void announce(registration, request, response));
  listener.handle(app.handler as never);
}
