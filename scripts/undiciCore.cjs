/**
 * The parts of the HTTP client undici that azurestream uses. Its main module also loads fetch, caches,
 * proxies and mocks, which every daemon would keep in memory; scripts/bundle.mjs puts this in its place.
 */
const { URL } = require('node:url');
const api = require('undici/lib/api');
const buildConnector = require('undici/lib/core/connect');
const errors = require('undici/lib/core/errors');
const Agent = require('undici/lib/dispatcher/agent');
const Client = require('undici/lib/dispatcher/client');
const Dispatcher = require('undici/lib/dispatcher/dispatcher');

Object.assign(Dispatcher.prototype, api);

/** Dispatcher of requests that name none. */
let sharedAgent;

/** Sends a request as undici's `request` does. */
function request(url, { dispatcher, ...options } = {}) {
  const { origin, pathname, search } = new URL(url);
  sharedAgent ??= dispatcher ? undefined : new Agent();
  return (dispatcher ?? sharedAgent).request({
    ...options,
    origin,
    path: `${pathname}${search}`,
    method: options.method ?? 'GET',
  });
}

module.exports = { Agent, Client, Dispatcher, buildConnector, errors, request };
