/** An operator's configuration for a small deployment, as the users' pages show it. */
export const SAFE_HOST = 'jepu9.example';
export const UNSAFE_HOST = 'hulo84.example';

const TIMEOUT_S = 5;

/** A route to one service. */
export function ruleFor(service, kind, path, timeout = TIMEOUT_S) {
  return {
    name: `r-${kind}-${service}`,
    kind,
    target_latency_s: timeout / 2,
    priority: kind === 'unsafe' ? 1 : 2,
    match: { path_prefix: path },
    action: { service, timeout_s: timeout, max_attempts: 2 },
  };
}

/**
 * @param version - Its version number.
 * @param services - Names of its services; each has a safe and an unsafe route, at `/<name>/` of two hosts.
 * @param changes - `tenants`; `timeout_s` of all routes; `listeners`, in place of these; `health_path` of the services.
 * @returns JSON text, the value of the operator's record.
 */
export default function configuration(version, services, changes = {}) {
  const rules = (kind) =>
    services.map((service) => ruleFor(service, kind, `/${service}/`, changes.timeout_s));
  return JSON.stringify({
    version,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
    base_version: version - 1,
    listeners: changes.listeners ?? [
      { host: SAFE_HOST, rules: rules('safe') },
      { host: UNSAFE_HOST, rules: rules('unsafe') },
    ],
    clusters: services.map((name) => ({
      name,
      health_path: changes.health_path ?? '/health',
      max_conns: 110,
      protocol: 'h1',
      tls: false,
    })),
    ...(changes.tenants && { tenants: changes.tenants }),
  });
}
