import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FileName } from '../common/Types';
import findDifferences from './configurationDifferences';
import findWarnings from './configurationWarnings';
import mergeFolder from './mergeFolder';
import { formatIssue } from './validationIssues';

const SERVICE = '[service.s]\n[route.r]\nservice = "s"\npath = "/r"\n';

function merged(content: string) {
  const folder = [{ name: '10.toml' as FileName, content }];
  const result = mergeFolder(folder);
  if (result.kind === 'invalid') throw new Error(result.issues.map(formatIssue).join('; '));
  return { folder, configuration: result.configuration };
}

function warningsOf(content: string): string {
  const { folder, configuration } = merged(content);
  return findWarnings(folder, configuration).map(formatIssue).join('\n') || 'none';
}

test('entries without effect and limits that contradict each other are reported', () => {
  const cases: Readonly<Record<string, string>> = {
    'nothing wrong': SERVICE,
    'slots above connections': `[service.s]\nslots = 200\n${SERVICE.slice(12)}`,
    'no route to a service': `${SERVICE}[service.t]\n`,
    'timeout below objective': `${SERVICE}timeout = "1s"\nobjective = "2s"\n`,
    'retries without a budget': `${SERVICE}retries = 3\n[defaults]\nretry_budget = 0\n`,
    'hedge of calls that may not run twice': `${SERVICE}hedge = true\nidempotent = false\n`,
    'weight that rounds to nothing': `${SERVICE}[service.t]\n[route.q]\npath = "/q"\nsplit = { s = 100000, t = 1 }\n`,
    'host that differs in its port only': `${SERVICE}host = "a"\n[route.q]\nservice = "s"\npath = "/r"\nhost = "a:81"\n`,
    'host that differs in its spelling only': `${SERVICE}host = "a:81"\n[route.q]\nservice = "s"\npath = "/r"\nhost = "a:081"\n`,
    'public without organisations': `${SERVICE}public = true\n`,
    'organisation without keys': `${SERVICE}[organisation.o]\nkeys = []\n`,
    'burst without a rate': `${SERVICE}[organisation.o]\nkeys = ["${'0'.repeat(64)}"]\nrate = 0\nburst = 5\n`,
    'rollout without calls': `${SERVICE}[service.t]\n[rollout.t]\nversion = "v2"\nduration = "1s"\n`,
  };
  assert.snapshot(
    Object.entries(cases)
      .map(([name, content]) => `${name}: ${warningsOf(content)}`)
      .join('\n'),
    `nothing wrong: none
slots above connections: 10.toml:2: service.s.slots: found 200 slots, expected at most as many as connections (120): each running call takes one
no route to a service: 10.toml:5: service.t.slots: found no route to it, expected a route, or no such service
timeout below objective: 10.toml:6: route.r.objective: found 2000ms, expected at most the timeout (1000ms): a call ends before it can miss the objective
retries without a budget: 10.toml:5: route.r.retries: found 3, expected 0: defaults.retry_budget is 0, so that only calls that reached no upstream are sent again
hedge of calls that may not run twice: 10.toml:5: route.r.hedge: found true, expected false: only idempotent calls are hedged
weight that rounds to nothing: 10.toml:8: route.q.split: found weight 1 of 100001 for t, expected at least 0.0001 of the sum: fewer calls than one in 10,000 go there
host that differs in its port only: none
host that differs in its spelling only: 10.toml:9: route.q.host: found "a:081", expected another host or path than route.r, which gets all GET calls
public without organisations: 10.toml:5: route.r.public: found true, expected an organisation: without any no call needs a key
organisation without keys: 10.toml:6: organisation.o.keys: found no key, expected at least one: without it nobody can call for it
burst without a rate: 10.toml:8: organisation.o.burst: found 5, without a rate, expected a rate above 0: without it there is no limit
rollout without calls: 10.toml:5: service.t.slots: found no route to it, expected a route, or no such service
10.toml:7: rollout.t.version: found no route to the service, expected a service that gets calls`,
  );
});

test('configurations are compared by what is in force, not by their text', () => {
  const before = merged(`${SERVICE}[service.old]\n[organisation.o]\nkeys = []\n`).configuration;
  const after = merged(
    `# moved\n[organisation.o]\nkeys = []\nrate = 2\n[service.new]\n${SERVICE}timeout = "1s"\n`,
  ).configuration;
  assert.snapshot(
    findDifferences(before, after)
      .map(({ entry, change, values }) => `${change} ${entry} ${values.join(', ')}`.trim())
      .join('\n'),
    `changed organisation.o quota
changed route.r timeoutMs, objectiveMs
added service.new
removed service.old`,
  );
});

test.run();
