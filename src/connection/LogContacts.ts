import * as z from 'zod';
import type { Address, DaemonId, Logger, Offset } from '../common/Types';
import type { Contact, ContactStore, Log } from './Types';

/** Records of the stream that are read, newest first. */
const JOINS_READ = 64;

const joinSchema = z.object({ id: z.string().min(1), address: z.string().min(1) });

/** Keeps contacts in the log's stream of joins. */
export default class LogContacts implements ContactStore {
  public constructor(
    private readonly log: Log,
    private readonly logger: Logger,
  ) {}

  public async contacts(signal: AbortSignal): Promise<readonly Contact[]> {
    const { earliest, next } = await this.log.bounds('joins');
    const from = Math.max(earliest, next - JOINS_READ) as Offset;
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
      this.logger.log('A join is not readable.', { offset, reason: (error as Error).message });
      return undefined;
    }
  }
}
