import * as z from 'zod';
import type { Address, DaemonId, Logger, Offset } from '../common/Types';
import type { Contact, ContactStore, Log } from './Types';

/** Maximum number of contact records read from the end of the `joins` stream. */
const MAX_JOINS_READ = 64;

const joinSchema = z.object({ id: z.string().min(1), address: z.string().min(1) });

/** Stores contacts in the `joins` stream of the log. */
export default class LogContacts implements ContactStore {
  /** The log drops old records. */
  public readonly isDurable = false;

  public constructor(
    private readonly log: Log,
    private readonly logger: Logger,
  ) {}

  public async contacts(signal: AbortSignal): Promise<readonly Contact[]> {
    const { earliest, next } = await this.log.bounds('joins');
    const from = Math.max(earliest, next - MAX_JOINS_READ) as Offset;
    if (from >= next) return [];
    const { records } = await this.log.read('joins', from, 0, signal);
    const contacts = new Map<DaemonId, Contact>();
    for (const { data, offset } of records) {
      const contact = this.decode(data, offset);
      if (contact) contacts.set(contact.id, contact);
    }
    return [...contacts.values()];
  }

  public async announce(contact: Contact): Promise<void> {
    await this.log.append('joins', JSON.stringify(contact));
  }

  private decode(data: string, offset: Offset): Contact | undefined {
    try {
      const { id, address } = joinSchema.parse(JSON.parse(data));
      return { id: id as DaemonId, address: address as Address };
    } catch (error) {
      this.logger.log('Record of the joins stream is invalid.', {
        offset,
        reason: (error as Error).message,
      });
      return undefined;
    }
  }
}
