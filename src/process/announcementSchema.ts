import * as z from 'zod';
import isAddress from '../common/isAddress';
import type { Address, ServiceName, SoftwareVersion } from '../common/Types';
import type { Announcement } from './Types';

/** Body of an upstream's announcement to the control address. */
const announcementSchema: z.ZodType<Announcement> = z.strictObject({
  service: z
    .string()
    .min(1)
    .transform((value) => value as ServiceName),
  address: z
    .string()
    .refine(isAddress)
    .transform((value) => value as Address),
  state: z.enum(['warming', 'serving', 'draining']),
  healthy: z.boolean().default(true),
  slots: z.int().min(1).optional(),
  version: z
    .string()
    .min(1)
    .max(255)
    .transform((value) => value as SoftwareVersion)
    .optional(),
});

export default announcementSchema;
