package org.elderhitch.leadership

import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.NodeName
import org.elderhitch.store.Revision

/**
 * The persistent term counter as written by a claim, stored under `Keys.TERM`. The stored number is the last fencing
 * token of [term], so the next claim, of whichever version, gets a term above all tokens of this one.
 *
 * @property claimId a random ID, unique to each claim. It shows whether a claim whose response was lost was applied.
 */
internal class TermRecord(val term: Term, val node: NodeName, val incarnation: Incarnation, val claimId: String)

/** The current leader, stored under `Keys.LEADER` and attached to the leader's lease. */
internal data class LeaderRecord(val node: NodeName, val incarnation: Incarnation, val term: Term)

/** A [LeaderRecord] with the revision of its key. */
internal class StoredLeader(val record: LeaderRecord, val revision: Revision)

/** Encodes and decodes [TermRecord] and [LeaderRecord]. The field names and their order must not change. */
internal object LeadershipCodec {
    private const val COUNTER = "n"
    private const val TERM = "term"
    private const val NODE = "node"
    private const val INCARNATION = "run"
    private const val CLAIM_ID = "claim"

    fun encode(record: TermRecord): Map<String, Any?> = linkedMapOf(
        COUNTER to TokenRange.of(record.term).last.number,
        NODE to record.node.text,
        INCARNATION to record.incarnation.text,
        CLAIM_ID to record.claimId,
    )

    fun encode(record: LeaderRecord): Map<String, Any?> = linkedMapOf(
        NODE to record.node.text,
        INCARNATION to record.incarnation.text,
        TERM to record.term.number,
    )

    /** @throws MalformedJson if a field is missing or of the wrong type. */
    fun decodeLeader(value: JsonObject): LeaderRecord = LeaderRecord(
        NodeName(value.string(NODE)),
        Incarnation(value.string(INCARNATION)),
        Term(value.long(TERM)),
    )

    /**
     * Returns the last fencing token of the last claimed term.
     *
     * @throws MalformedJson if the counter is not an integer in range.
     */
    fun decodeLastToken(value: JsonObject): FencingToken = FencingToken(value.longOrNull(COUNTER) ?: 0)

    /**
     * Returns the leader that claimed the stored term, or null if the record was written by a version that did not
     * store it.
     *
     * @throws MalformedJson if a field is of the wrong type.
     */
    fun decodeClaimant(value: JsonObject): PreviousLeader? {
        val node = value.stringOrNull(NODE) ?: return null
        val incarnation = value.stringOrNull(INCARNATION) ?: return null
        return PreviousLeader(NodeName(node), Incarnation(incarnation))
    }

    /** Whether the claim with [claimId] wrote the stored counter. */
    fun isWrittenBy(value: JsonObject, claimId: String): Boolean = value.raw(CLAIM_ID) == claimId
}
