import { EventEmitter } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ProcessSignals from './ProcessSignals';

/** Sends signals in turn; returns the effects of each one. */
function effectsOf(isTerminal: boolean, signals: readonly string[], startAfter = 0): string[] {
  const source = new EventEmitter();
  const lines: string[] = [];
  let effects: string[] = [];
  const received = new ProcessSignals(source, isTerminal, () => effects.push('abort'));
  received.onReload(() => effects.push('reload'));
  received.onRepeat((signal) => effects.push(`repeated ${signal}`));
  signals.forEach((signal, index) => {
    if (index === startAfter) received.start();
    source.emit(signal);
    lines.push(`${signal}: ${effects.join(' ') || '-'}`);
    effects = [];
  });
  return lines;
}

const SERIES = ['SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGINT', 'SIGTERM', 'SIGINT', 'SIGHUP'];

// Guards against calls that are cut as a supervisor repeats its signal.
test('repeated stop signals have no effect, but for a second interrupt from a terminal', () => {
  const supervised = effectsOf(false, SERIES);
  const interactive = effectsOf(true, SERIES);
  assert.snapshot(
    SERIES.map((_, index) => `${supervised[index]} | ${interactive[index]}`).join('\n'),
    `SIGHUP: reload | SIGHUP: reload
SIGTERM: - | SIGTERM: -
SIGHUP: reload | SIGHUP: reload
SIGTERM: repeated SIGTERM | SIGTERM: repeated SIGTERM
SIGINT: repeated SIGINT | SIGINT: repeated SIGINT
SIGTERM: repeated SIGTERM | SIGTERM: repeated SIGTERM
SIGINT: repeated SIGINT | SIGINT: abort
SIGHUP: reload | SIGHUP: reload`,
  );
});

test('a reload that is requested before the daemon has started takes place at its start', () => {
  assert.equal(effectsOf(false, ['SIGHUP', 'SIGHUP', 'SIGTERM'], 2), [
    'SIGHUP: -',
    'SIGHUP: -',
    'SIGTERM: reload',
  ]);
});

test.run();
