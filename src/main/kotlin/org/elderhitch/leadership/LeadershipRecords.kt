package org.elderhitch.leadership

import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.NodeName
import org.elderhitch.store.Revision

/**
 * The permanent term counter, stored under `Keys.TERM`, as a claim writes it.
 *
 * @property claimId drawn anew for each claim. A claim whose outcome is unknown finds out by it whether it was applied.
 */
internal class TermRecord(val term: Term, val node: NodeName, val incarnation: Incarnation, val claimId: String)

/** Who leads, stored under `Keys.LEADER` and attached to the leader's lease. */
internal data class LeaderRecord(val node: NodeName, val incarnation: Incarnation, val term: Term)

/** A [LeaderRecord] with the revision of its key. */
internal class StoredLeader(val record: LeaderRecord, val revision: Revision)

/** The stored form of [TermRecord] and [LeaderRecord]. Field names and their order never change. */
internal object LeadershipCodec {
    private const val COUNTER = "n"
    private const val TERM = "term"
    private const val NODE = "node"
    private const val INCARNATION = "run"
    private const val CLAIM_ID = "claim"

    fun encode(record: TermRecord): Map<String, Any?> = linkedMapOf(
        COUNTER to record.term.number,
        NODE to record.node.text,
        INCARNATION to record.incarnation.text,
        CLAIM_ID to record.claimId,
    )

    fun encode(record: LeaderRecord): Map<String, Any?> = linkedMapOf(
        NODE to record.node.text,
        INCARNATION to record.incarnation.text,
        TERM to record.term.number,
    )

    /** @throws MalformedJson if a field is missing or of a wrong type. */
    fun decodeLeader(value: JsonObject): LeaderRecord = LeaderRecord(
        NodeName(value.string(NODE)),
        Incarnation(value.string(INCARNATION)),
        Term(value.long(TERM)),
    )

    /**
     * The last claimed term.
     *
     * @throws MalformedJson if the counter is no integer in range.
     */
    fun decodeTerm(value: JsonObject): Term = Term(value.longOrNull(COUNTER) ?: 0)

    /**
     * Who claimed the stored term; null: a version wrote it that didn't store its leader.
     *
     * @throws MalformedJson if a field is of a wrong type.
     */
    fun decodeClaimant(value: JsonObject): PreviousLeader? {
        val node = value.stringOrNull(NODE) ?: return null
        val incarnation = value.stringOrNull(INCARNATION) ?: return null
        return PreviousLeader(NodeName(node), Incarnation(incarnation))
    }

    /** Whether the stored counter was written by the claim with [claimId]. */
    fun isWrittenBy(value: JsonObject, claimId: String): Boolean = value.raw(CLAIM_ID) == claimId
}
