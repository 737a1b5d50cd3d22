package org.elderhitch.leadership

import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.NodeName
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.LeaseId
import org.elderhitch.store.LeaseOutcome
import org.elderhitch.store.ReadOutcome
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.random.Random
import kotlin.time.Duration

/** The result of a claim of leadership. */
internal sealed interface ClaimOutcome {
    /**
     * The claim was applied.
     *
     * @property termRevision the revision of the term counter after the claim.
     * @property sentAt when the lease was requested. This node measures the lease's time to live from then.
     */
    data class Won(
        val term: Term,
        val termRevision: Revision,
        val lease: LeaseId,
        val sentAt: MonotonicInstant,
        val previousLeader: PreviousLeader?,
    ) : ClaimOutcome

    /** The term counter or the leader key has changed since they were read: another node claimed first. */
    data class Lost(val term: Term) : ClaimOutcome

    /** The state service did not respond, or its response was lost and the claim has not been found applied. */
    data object Unavailable : ClaimOutcome
}

/**
 * Claims leadership in one conditional transaction, which raises the persistent term counter and writes the leader key
 * under a new lease. It succeeds only if neither key has changed since it was read.
 */
internal class LeadershipClaim(
    private val node: NodeName,
    private val incarnation: Incarnation,
    private val client: StateClient,
    private val leaseTtl: Duration,
    private val clock: SteadyClock,
    private val random: Random,
) {
    /** The term counter as read before the claim. */
    private class TermCounter(val revision: Revision, val lastToken: FencingToken, val claimant: PreviousLeader?)

    /**
     * Claims the next term, provided that the leader key is still at [leaderRevision].
     *
     * @throws MalformedJson if the stored term counter is malformed.
     */
    suspend fun claim(leaderRevision: Revision): ClaimOutcome {
        val counter = readTermCounter() ?: return ClaimOutcome.Unavailable
        val sentAt = clock.now()
        val lease = grantLease() ?: return ClaimOutcome.Unavailable
        val record = TermRecord(Term(counter.lastToken.number + 1), node, incarnation, newClaimId())
        return when (val outcome = commit(record, lease, counter.revision, leaderRevision)) {
            is CommitOutcome.Committed ->
                ClaimOutcome.Won(record.term, outcome.revision, lease, sentAt, counter.claimant)

            CommitOutcome.Unknown -> findRevisionOfClaim(record.claimId)
                ?.let { ClaimOutcome.Won(record.term, it, lease, sentAt, counter.claimant) }
                ?: ClaimOutcome.Unavailable

            else -> ClaimOutcome.Lost(record.term)
        }
    }

    private suspend fun readTermCounter(): TermCounter? =
        when (val read = client.read(Keys.TERM, RequestPriority.LEADERSHIP)) {
            is ReadOutcome.Found -> decodeTermCounter(read.entry)
            ReadOutcome.Absent -> TermCounter(Revision.ABSENT, FencingToken.NONE, null)
            ReadOutcome.Unavailable -> null
        }

    private fun decodeTermCounter(entry: Entry) = TermCounter(
        entry.version,
        LeadershipCodec.decodeLastToken(entry.value),
        LeadershipCodec.decodeClaimant(entry.value),
    )

    private suspend fun grantLease(): LeaseId? = (client.grantLease(leaseTtl) as? LeaseOutcome.Held)?.lease

    private fun newClaimId(): String = random.nextLong().toULong().toString(CLAIM_ID_RADIX)

    private suspend fun commit(
        record: TermRecord,
        lease: LeaseId,
        counterRevision: Revision,
        leaderRevision: Revision,
    ): CommitOutcome {
        val leader = LeaderRecord(record.node, record.incarnation, record.term)
        return client.commit(
            listOf(
                Condition(Keys.TERM, counterRevision),
                Condition(Keys.LEADER, leaderRevision),
            ),
            listOf(
                Write.Put(Keys.TERM, LeadershipCodec.encode(record)),
                Write.Put(Keys.LEADER, LeadershipCodec.encode(leader), lease),
            ),
            RequestPriority.LEADERSHIP,
        )
    }

    /**
     * Returns the revision of the term counter if the claim whose response was lost has been applied, or null if it has
     * not or the counter can't be read now. The counter is sufficient evidence: it is persistent and holds the ID of
     * the claim that wrote it.
     */
    private suspend fun findRevisionOfClaim(claimId: String): Revision? {
        val read = client.read(Keys.TERM, RequestPriority.LEADERSHIP) as? ReadOutcome.Found ?: return null
        return read.entry.version.takeIf { LeadershipCodec.isWrittenBy(read.entry.value, claimId) }
    }

    private companion object {
        const val CLAIM_ID_RADIX = 36
    }
}
