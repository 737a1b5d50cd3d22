package org.elderhitch.drmaa

import org.elderhitch.settings.TeamName
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write
import org.elderhitch.time.WallClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.hours

/** Opens and closes sessions and records their last use, on any node. */
public class Sessions(
    private val sessionRegistry: SessionRegistry,
    private val client: StateClient,
    private val wallClock: WallClock,
    private val settings: DrmaaSettings,
) {
    private val log = LoggerFactory.getLogger("elderhitch.drmaa")

    /** Opens the session unless an earlier attempt has. Throws [Refused]. */
    public suspend fun open(session: SessionName, team: TeamName) {
        val open = sessionRegistry.sessions()
        if (session in open) return
        val ofTeam = open.values.count { it.team == team }
        if (ofTeam >= settings.sessionsPerTeam) {
            throw Refused(
                Fault.TryLaterException,
                "the team has $ofTeam open sessions, the limit is ${settings.sessionsPerTeam}",
            )
        }
        val now = wallClock.now()
        val key = DrmaaKeys.session(session)
        // A closed session can't be opened again: its name is not reused.
        val conditions = listOf(Condition(key, Revision.ABSENT), Condition(DrmaaKeys.closed(session), Revision.ABSENT))
        repeat(MAX_ATTEMPTS) {
            when (
                val outcome = client.commit(
                    conditions,
                    listOf(Write.Put(key, SessionRecord(team, now, now, Revision.ABSENT).encode())),
                    RequestPriority.RECORD,
                )
            ) {
                is CommitOutcome.Committed -> {
                    log.info("session opened session={} team={}", session, team)
                    return
                }

                is CommitOutcome.Conflict -> if (key in outcome.failed) {
                    return
                } else {
                    throw Refused(Fault.NoActiveSessionException, "the session was closed")
                }

                CommitOutcome.Unknown -> Unit

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> throw Refused(
                    Fault.DrmCommunicationException,
                    "the change can't be recorded at the moment",
                )
            }
        }
        throw Refused(Fault.DrmCommunicationException, "the state service doesn't answer")
    }

    /** Whether the recorded time of last use is at least an hour old. */
    public fun isTouchDue(record: SessionRecord): Boolean = wallClock.now() - record.used >= TOUCH_INTERVAL

    /** Records that the session is in use. A failure is ignored: it is no reason to refuse the request. */
    public suspend fun touch(session: SessionName, record: SessionRecord) {
        val now = wallClock.now()
        client.commit(
            listOf(Condition(DrmaaKeys.session(session), record.version)),
            listOf(Write.Put(DrmaaKeys.session(session), record.copy(used = now).encode())),
            RequestPriority.OTHER,
        )
    }

    /** Closes the session for good, recording why and how many jobs and results were left. True if it is closed now. */
    public suspend fun close(
        session: SessionName,
        reason: String,
        extraConditions: List<Condition> = emptyList(),
    ): Boolean {
        repeat(MAX_ATTEMPTS) {
            val (record, left) = sessionRegistry.query(session) { it.record to it.state.outstandingCount() }
                ?: return true
            val outcome = client.commit(
                listOf(
                    Condition(DrmaaKeys.session(session), record.version),
                    Condition(DrmaaKeys.closed(session), Revision.ABSENT),
                ) +
                    extraConditions,
                listOf(
                    Write.Drop(DrmaaKeys.session(session)),
                    Write.Put(
                        DrmaaKeys.closed(session),
                        linkedMapOf(
                            "team" to record.team.text,
                            "why" to reason,
                            "at" to wallClock.now().ms,
                            "left" to left,
                        ),
                    ),
                ),
                RequestPriority.RECORD,
            )
            when (outcome) {
                is CommitOutcome.Committed -> {
                    log.info("session closed session={} team={} why={} left={}", session, record.team, reason, left)
                    return true
                }

                is CommitOutcome.Conflict -> if (DrmaaKeys.closed(session) in outcome.failed) return true

                CommitOutcome.Unknown -> Unit

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> return false
            }
        }
        return false
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        val TOUCH_INTERVAL = 1.hours
    }
}
