import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { InstanceId } from '../common/Types';
import LogUnavailableError from '../connection/LogUnavailableError';
import type { WithdrawalStore } from '../connection/Types';
import WithdrawalKeeper from './WithdrawalKeeper';

const WITHDRAWALS = [{ instance: 'i-1' as InstanceId, startedAt: 100, sequence: null }];
const PEERS: Readonly<Record<string, () => Promise<boolean>>> = {
  confirm: () => Promise.resolve(true),
  fail: () => Promise.resolve(false),
  'stay silent': () => new Promise(() => {}),
};
const STORES: Readonly<Record<string, (() => Promise<void>) | undefined>> = {
  confirms: () => Promise.resolve(),
  rejects: () => Promise.reject(new LogUnavailableError('down')),
  'stays silent': () => new Promise(() => {}),
  'is absent': undefined,
};

test('a withdrawal counts as kept once enough peers or the store confirmed it', async () => {
  const lines = await Promise.all(
    Object.entries(PEERS).flatMap(([peers, publishSelf]) =>
      Object.entries(STORES).map(async ([name, storeWithdrawals]) => {
        const store = storeWithdrawals && ({ storeWithdrawals } as unknown as WithdrawalStore);
        const keeper = new WithdrawalKeeper({ publishSelf }, store, { log: () => undefined });
        return `peers ${peers}, store ${name}: ${await keeper.keep(WITHDRAWALS)}`;
      }),
    ),
  );
  assert.snapshot(
    lines.join('\n'),
    `peers confirm, store confirms: true
peers confirm, store rejects: true
peers confirm, store stays silent: true
peers confirm, store is absent: true
peers fail, store confirms: true
peers fail, store rejects: false
peers fail, store stays silent: false
peers fail, store is absent: false
peers stay silent, store confirms: true
peers stay silent, store rejects: false
peers stay silent, store stays silent: false
peers stay silent, store is absent: false`,
  );
});

test.run();
