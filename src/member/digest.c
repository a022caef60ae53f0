/* Digest exchange, which repairs lost updates and fills a new host's table.
 *
 * The first step compares a hash for each bucket of host ids. The host that
 * starts the exchange derives the number of buckets from the size of its
 * table, and the peer uses the same number. Dead and left hosts are excluded
 * from the hashes, because each host removes them at a different time.
 */
#include <string.h>

#include "member/table.h"
#include "rpc/rpc.h"

#define HOSTS_PER_BUCKET 8
/* Limits that keep each message under RPC_MAX_BODY_BYTES. */
#define MAX_VERSIONS 200
#define MAX_WANTED 32
#define MAX_RECORD_BYTES 7200
#define MAX_PUSH_BYTES 3600

static u_int
bucket_of(uint64_t host, u_int buckets)
{
    /* The index of the table uses the low bits; any bits would do here. */
    return (u_int)(host >> 40) & (buckets - 1);
}

static void
hash_buckets(const Member *member, u_int buckets, u_quad_t *hashes)
{
    memset(hashes, 0, buckets * sizeof(hashes[0]));
    for (uint32_t slot = 0; slot < member->slot_count; slot++) {
        const MemberSlot *entry = &member->slots[slot];

        if (entry->host != NULL && entry->digest_hash != 0) {
            hashes[bucket_of(entry->host->id, buckets)] ^= entry->digest_hash;
        }
    }
}

void
Member_WriteDigest(Member *member, ClockMs now, GByteArray *body)
{
    u_quad_t hashes[MEMBER_WIRE_BUCKETS];
    u_int buckets = 1;
    MemberWireDigest digest = {.step = MEMBER_WIRE_STEP_BUCKETS};

    (void)now;
    while (buckets < MEMBER_WIRE_BUCKETS &&
           buckets * HOSTS_PER_BUCKET < MemberTable_LiveCount(member)) {
        buckets *= 2;
    }
    hash_buckets(member, buckets, hashes);
    member->wanted_count = 0;
    member->is_digest_truncated = FALSE;
    digest.MemberWireDigest_u.buckets.hashes.hashes_len = buckets;
    digest.MemberWireDigest_u.buckets.hashes.hashes_val = hashes;
    if (!Rpc_Encode(body, (xdrproc_t)xdr_MemberWireDigest, &digest)) {
        g_error("digest exceeds the maximum message size");
    }
}

/* Answers with the versions of the hosts in the differing buckets, from a
 * random bucket on and up to MAX_VERSIONS; sets is_cut if buckets were left
 * out. */
static Result
answer_buckets(Member *member, const MemberWireBuckets *theirs,
               GByteArray *reply)
{
    u_int buckets = theirs->hashes.hashes_len;
    u_quad_t ours[MEMBER_WIRE_BUCKETS];
    u_int listed[MEMBER_WIRE_BUCKETS];
    uint16_t sizes[MEMBER_WIRE_BUCKETS] = {0};
    gboolean is_listed[MEMBER_WIRE_BUCKETS] = {FALSE};
    MemberWireVersion versions[MEMBER_WIRE_VERSIONS];
    MemberWireDigest digest = {.step = MEMBER_WIRE_STEP_VERSIONS};
    MemberWireVersions *out = &digest.MemberWireDigest_u.versions;
    u_int total = 0;
    u_int start;

    if (buckets == 0 || (buckets & (buckets - 1)) != 0) {
        return RESULT_MALFORMED;
    }
    hash_buckets(member, buckets, ours);
    for (uint32_t slot = 0; slot < member->slot_count; slot++) {
        if (member->slots[slot].host != NULL) {
            sizes[bucket_of(member->slots[slot].host->id, buckets)]++;
        }
    }
    start = (u_int)Rng_Below(&member->rng, buckets);
    *out = (MemberWireVersions){.bucket_count = buckets,
                                .buckets = {.buckets_val = listed},
                                .versions = {.versions_val = versions}};
    for (u_int i = 0; i < buckets; i++) {
        u_int bucket = (start + i) % buckets;

        if (ours[bucket] == theirs->hashes.hashes_val[bucket]) {
            continue;
        }
        if (total + sizes[bucket] > MAX_VERSIONS && total > 0) {
            out->is_cut = 1;
            continue;
        }
        total += sizes[bucket];
        is_listed[bucket] = TRUE;
        listed[out->buckets.buckets_len++] = bucket;
    }
    for (uint32_t slot = 0; slot < member->slot_count &&
                            out->versions.versions_len < MAX_VERSIONS;
         slot++) {
        const MemberHost *host = member->slots[slot].host;

        if (host != NULL && is_listed[bucket_of(host->id, buckets)]) {
            versions[out->versions.versions_len++] =
                (MemberWireVersion){.id = host->id,
                                    .incarnation = host->incarnation,
                                    .refutation = host->refutation,
                                    .serial = host->serial,
                                    .state = host->state};
        }
    }
    return Rpc_Encode(reply, (xdrproc_t)xdr_MemberWireDigest, &digest)
               ? RESULT_OK
               : RESULT_TOO_LARGE;
}

static void
free_records(MemberWireRecords *records)
{
    for (u_int i = 0; i < records->records.records_len; i++) {
        g_free(records->records.records_val[i].servers.servers_val);
    }
}

static gboolean
add_record(const MemberHost *host, size_t *budget, MemberWireRecords *out)
{
    size_t bytes = MemberUpdate_WireBytes(host, TRUE);

    if (bytes > *budget || out->records.records_len >= MEMBER_WIRE_UPDATES) {
        return FALSE;
    }
    *budget -= bytes;
    MemberUpdate_ToWire(host, TRUE,
                        &out->records.records_val[out->records.records_len++]);
    return TRUE;
}

static void
merge_records(Member *member, ClockMs now, uint64_t sender,
              const MemberWireRecords *records)
{
    gboolean is_trusted =
        Member_IsTrusted(member, sender) || MemberTable_LiveCount(member) == 1;

    for (u_int i = 0; i < records->records.records_len; i++) {
        const MemberWireHost *wire = &records->records.records_val[i];

        if (is_trusted || wire->id == member->desc.self.id) {
            (void)Member_Merge(member, now, wire, MEMBER_FROM_DIGEST);
        }
    }
}

/* Merges the peer's records and answers with those that it requests. */
static Result
answer_records(Member *member, ClockMs now, uint64_t sender,
               const MemberWireRecords *theirs, GByteArray *reply)
{
    MemberWireHost records[MEMBER_WIRE_UPDATES];
    MemberWireDigest digest = {.step = MEMBER_WIRE_STEP_RECORDS};
    MemberWireRecords *out = &digest.MemberWireDigest_u.records;
    size_t budget = MAX_RECORD_BYTES;
    Result result;

    merge_records(member, now, sender, theirs);
    *out = (MemberWireRecords){.records = {.records_val = records}};
    for (u_int i = 0; i < theirs->wanted.wanted_len; i++) {
        const MemberHost *host =
            Member_Peek(member, theirs->wanted.wanted_val[i]);

        if (host != NULL && !add_record(host, &budget, out)) {
            break;
        }
    }
    result = Rpc_Encode(reply, (xdrproc_t)xdr_MemberWireDigest, &digest)
                 ? RESULT_OK
                 : RESULT_TOO_LARGE;
    free_records(out);
    return result;
}

Result
Member_ReadDigest(Member *member, ClockMs now, uint64_t sender,
                  const GByteArray *body, GByteArray *reply)
{
    MemberWireDigest digest = {.step = 0};
    Result result = RESULT_MALFORMED;

    if (!Rpc_Decode(body, (xdrproc_t)xdr_MemberWireDigest, &digest)) {
        return RESULT_MALFORMED;
    }
    if (digest.step == MEMBER_WIRE_STEP_BUCKETS) {
        result =
            answer_buckets(member, &digest.MemberWireDigest_u.buckets, reply);
    }
    else if (digest.step == MEMBER_WIRE_STEP_RECORDS) {
        result = answer_records(member, now, sender,
                                &digest.MemberWireDigest_u.records, reply);
    }
    xdr_free((xdrproc_t)xdr_MemberWireDigest, &digest);
    return result;
}

/* Returns a negative number if this host's record is older than the version in
 * some part, a positive one if it is newer, 0 if there is nothing to exchange.
 */
static int
compare_version(const MemberHost *host, const MemberWireVersion *version)
{
    if (host->incarnation != version->incarnation) {
        return host->incarnation < version->incarnation ? -1 : 1;
    }
    if (host->serial < version->serial ||
        host->refutation < version->refutation ||
        (host->refutation == version->refutation &&
         host->state < version->state &&
         !(host->state == MEMBER_SUSPECT && version->state == MEMBER_DEAD))) {
        return -1;
    }
    if (host->serial > version->serial ||
        host->refutation > version->refutation ||
        (host->refutation == version->refutation &&
         host->state > version->state &&
         !(host->state == MEMBER_DEAD && version->state == MEMBER_SUSPECT))) {
        return 1;
    }
    return 0;
}

/* Returns TRUE if the record of an unknown host should be fetched. */
static gboolean
is_wanted(const Member *member, const MemberWireVersion *version)
{
    const MemberTombstone *tombstone;

    if (version->state == MEMBER_DEAD || version->state == MEMBER_LEFT) {
        return FALSE;
    }
    tombstone = MemberTable_FindTombstone(member, version->id);
    return tombstone == NULL ||
           version->incarnation > tombstone->incarnation ||
           (version->incarnation == tombstone->incarnation &&
            version->refutation > tombstone->refutation);
}

static int
compare_ids(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left;
    uint64_t b = *(const uint64_t *)right;

    return (a > b) - (a < b);
}

/* Adds the live hosts of the listed buckets that the peer does not know. */
static void
push_missing(const Member *member, const MemberWireVersions *theirs,
             size_t *budget, MemberWireRecords *out)
{
    uint64_t known[MEMBER_WIRE_VERSIONS];
    gboolean is_listed[MEMBER_WIRE_BUCKETS] = {FALSE};
    u_int count = theirs->versions.versions_len;

    for (u_int i = 0; i < count; i++) {
        known[i] = theirs->versions.versions_val[i].id;
    }
    qsort(known, count, sizeof(known[0]), compare_ids);
    for (u_int i = 0; i < theirs->buckets.buckets_len; i++) {
        is_listed[theirs->buckets.buckets_val[i] & (MEMBER_WIRE_BUCKETS - 1)] =
            TRUE;
    }
    for (uint32_t slot = 0; slot < member->slot_count; slot++) {
        const MemberHost *host = member->slots[slot].host;

        if (host != NULL && MemberTable_IsLive(host) &&
            is_listed[bucket_of(host->id, theirs->bucket_count)] &&
            bsearch(&host->id, known, count, sizeof(known[0]), compare_ids) ==
                NULL &&
            !add_record(host, budget, out)) {
            return;
        }
    }
}

/* Adds the records that are newer here to `out` and collects the ids to fetch.
 */
static void
compare_versions(Member *member, const MemberWireVersions *theirs,
                 MemberWireRecords *out)
{
    size_t budget = MAX_PUSH_BYTES;

    member->is_digest_truncated = theirs->is_cut != 0;
    member->wanted_count = 0;
    for (u_int i = 0; i < theirs->versions.versions_len; i++) {
        const MemberWireVersion *version = &theirs->versions.versions_val[i];
        const MemberHost *host = Member_Peek(member, version->id);
        int order = host == NULL ? (is_wanted(member, version) ? -1 : 0)
                                 : compare_version(host, version);

        if (order < 0 && member->wanted_count < MEMBER_WIRE_VERSIONS) {
            member->wanted[member->wanted_count++] = version->id;
        }
        else if (order > 0) {
            (void)add_record(host, &budget, out);
        }
    }
    push_missing(member, theirs, &budget, out);
}

/* Merges fetched records and removes them from the ids to fetch. Returns FALSE
 * if the answer contained no records. */
static gboolean
merge_answer(Member *member, ClockMs now, uint64_t sender,
             const MemberWireRecords *answer)
{
    uint32_t remaining = 0;

    merge_records(member, now, sender, answer);
    for (uint32_t i = 0; i < member->wanted_count; i++) {
        gboolean is_found = FALSE;

        for (u_int j = 0; j < answer->records.records_len && !is_found; j++) {
            is_found = answer->records.records_val[j].id == member->wanted[i];
        }
        if (!is_found) {
            member->wanted[remaining++] = member->wanted[i];
        }
    }
    member->wanted_count = remaining;
    return answer->records.records_len > 0;
}

gboolean
Member_ContinueDigest(Member *member, ClockMs now, uint64_t sender,
                      const GByteArray *reply, GByteArray *next)
{
    MemberWireDigest digest = {.step = 0};
    MemberWireHost records[MEMBER_WIRE_UPDATES];
    MemberWireDigest request = {.step = MEMBER_WIRE_STEP_RECORDS};
    MemberWireRecords *out = &request.MemberWireDigest_u.records;
    gboolean is_continued = FALSE;

    if (!Rpc_Decode(reply, (xdrproc_t)xdr_MemberWireDigest, &digest)) {
        return FALSE;
    }
    *out = (MemberWireRecords){.records = {.records_val = records}};
    if (digest.step == MEMBER_WIRE_STEP_VERSIONS &&
        digest.MemberWireDigest_u.versions.bucket_count > 0 &&
        digest.MemberWireDigest_u.versions.bucket_count <=
            MEMBER_WIRE_BUCKETS) {
        compare_versions(member, &digest.MemberWireDigest_u.versions, out);
        is_continued =
            member->wanted_count > 0 || out->records.records_len > 0;
    }
    else if (digest.step == MEMBER_WIRE_STEP_RECORDS) {
        is_continued =
            merge_answer(member, now, sender,
                         &digest.MemberWireDigest_u.records) &&
            (member->wanted_count > 0 || member->is_digest_truncated);
    }
    if (is_continued && member->wanted_count == 0 &&
        out->records.records_len == 0) {
        Member_WriteDigest(member, now, next);
    }
    else if (is_continued) {
        out->wanted.wanted_len = MIN(member->wanted_count, MAX_WANTED);
        out->wanted.wanted_val = (u_quad_t *)member->wanted;
        is_continued =
            Rpc_Encode(next, (xdrproc_t)xdr_MemberWireDigest, &request);
    }
    free_records(out);
    xdr_free((xdrproc_t)xdr_MemberWireDigest, &digest);
    return is_continued;
}
