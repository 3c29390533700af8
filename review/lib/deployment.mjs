// Addresses and limits of the small deployment, and its configurations.
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const PORTS = { inbound: 8300, app: 8301, ready: 8302, outbound: 8304, control_plane: 8306 };
export const METRICS_PORT = 9464;
export const STORE_PORT = 8309;
export const STORE_HOST_NUMBER = 200;
/** Pause of the platform before it restarts a process that ended. */
export const RESTART_MS = 500;
export const GRACE_S = 6;
export const MEMORY_MB = 350;
export const DRAIN_S = 2;
export const HOST = 'hulo84.example';

/** A configuration as the operator writes it. */
export function configuration(version, rules, services) {
  return {
    version,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
    listeners: [
      {
        host: HOST,
        rules: rules.map(
          ({ name, kind, path, service, latency_s: latency, timeout_s: timeout }) => ({
            name,
            kind,
            target_latency_s: latency ?? 0.6,
            priority: 1,
            match: { path_prefix: path },
            action: { service, timeout_s: timeout ?? 3, max_attempts: 2 },
          }),
        ),
      },
    ],
    clusters: services.map((name) => ({ name, health_path: '/health', max_conns: 110 })),
  };
}
