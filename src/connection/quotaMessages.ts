/**
 * Compact form of the quota messages: claims and grants are arrays, as their field names would be most of the bytes.
 *
 * @packageDocumentation
 */
import * as z from 'zod';
import type { DaemonId, OrganisationName } from '../common/Types';
import type { QuotaReply, QuotaRequest } from '../request/Types';

/** Maximum number of claims in a request: more than one daemon serves organisations at a time. */
const MAX_CLAIMS = 20_000;
/** Upper bound of credit counts, so that sums of them stay exact. */
const MAX_CREDITS = 2 ** 32;
const MAX_POOLS = 256;

const count = z.int().min(0).max(MAX_CREDITS);
const name = z.string().min(1).max(255);

/** Schema of a packed {@link QuotaRequest}. */
export const quotaRequestSchema = z.object({
  from: name,
  session: z.int().min(0),
  pool: z.int().min(0).max(MAX_POOLS),
  sequence: z.int().min(0),
  known: z.int().min(1).max(MAX_CREDITS),
  lent: z.tuple([z.int().min(0), z.number()]).nullable(),
  release: z.boolean(),
  /** Organisation, credits held, returned, needed and wanted. */
  claims: z.array(z.tuple([name, count, count, count, count])).max(MAX_CLAIMS),
});

/** A request as it is sent. */
export type PackedQuotaRequest = z.input<typeof quotaRequestSchema>;

/** A reply as it is sent; a grant is the number of credits, whether held ones are renewed, and the wait. */
export interface PackedQuotaReply extends Omit<QuotaReply, 'grants'> {
  readonly grants: readonly (readonly [granted: number, renewed: boolean, waitMs: number])[];
}

/**
 * @param request - Request to send.
 * @returns Its compact form.
 */
export function packQuotaRequest(request: QuotaRequest): PackedQuotaRequest {
  const { lent, claims } = request;
  return {
    ...request,
    lent: lent && [lent.session, lent.stamp],
    claims: claims.map(({ organisation, held, returned, needed, wanted }) => [
      organisation,
      held,
      returned,
      needed,
      wanted,
    ]),
  };
}

/**
 * @param packed - Received request, validated.
 * @returns The request.
 */
export function unpackQuotaRequest(packed: PackedQuotaRequest): QuotaRequest {
  const { lent, claims, from } = packed;
  return {
    ...packed,
    from: from as DaemonId,
    lent: lent && { session: lent[0], stamp: lent[1] },
    claims: claims.map(([organisation, held, returned, needed, wanted]) => ({
      organisation: organisation as OrganisationName,
      held,
      returned,
      needed,
      wanted,
    })),
  };
}

/**
 * @param reply - Reply to send.
 * @returns Its compact form.
 */
export function packQuotaReply(reply: QuotaReply): PackedQuotaReply {
  const { grants } = reply;
  return {
    ...reply,
    grants: grants.map(({ granted, renewed, waitMs }) => [granted, renewed, waitMs]),
  };
}

/**
 * @param packed - Received reply.
 * @returns The reply.
 */
export function unpackQuotaReply(packed: PackedQuotaReply): QuotaReply {
  const grants = packed.grants.map(([granted, renewed, waitMs]) => ({ granted, renewed, waitMs }));
  return { ...packed, grants };
}
