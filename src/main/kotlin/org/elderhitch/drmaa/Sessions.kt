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

/** Opens, touches and closes sessions; on any node. */
public class Sessions(
    private val sessionRegistry: SessionRegistry,
    private val client: StateClient,
    private val wallClock: WallClock,
    private val settings: DrmaaSettings,
) {
    private val log = LoggerFactory.getLogger("elderhitch.drmaa")

    /** Opens the session, unless an earlier try has. Throws [Refused]. */
    public suspend fun open(session: SessionName, team: TeamName) {
        val open = sessionRegistry.sessions()
        if (session in open) return
        val ofTeam = open.values.count { it.team == team }
        if (ofTeam >= settings.sessionsPerTeam) {
            throw Refused(
                Fault.TryLaterException,
                "the team has $ofTeam sessions open, of ${settings.sessionsPerTeam}",
            )
        }
        val now = wallClock.now()
        val key = DrmaaKeys.session(session)
        // A session that was closed stays so: its name leads nowhere any more.
        val conditions = listOf(Condition(key, Revision.ABSENT), Condition(DrmaaKeys.closed(session), Revision.ABSENT))
        repeat(TRIES) {
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
                    "the state service takes no record now",
                )
            }
        }
        throw Refused(Fault.DrmCommunicationException, "the state service doesn't answer")
    }

    /** Whether an hour has passed since word was left that the session is in use. */
    public fun isUnmarked(record: SessionRecord): Boolean = wallClock.now() - record.used >= TOUCH_EVERY

    /** Leaves word that the session is in use; that it can't be left now is no reason to refuse anything. */
    public suspend fun touch(session: SessionName, record: SessionRecord) {
        val now = wallClock.now()
        client.commit(
            listOf(Condition(DrmaaKeys.session(session), record.version)),
            listOf(Write.Put(DrmaaKeys.session(session), record.copy(used = now).encode())),
            RequestPriority.OTHER,
        )
    }

    /** Closes the session for good, and writes down why and what it let go. True if it is closed now. */
    public suspend fun close(session: SessionName, why: String, more: List<Condition> = emptyList()): Boolean {
        repeat(TRIES) {
            val (record, left) = sessionRegistry.look(session) { it.record to it.state.load() } ?: return true
            val outcome = client.commit(
                listOf(
                    Condition(DrmaaKeys.session(session), record.version),
                    Condition(DrmaaKeys.closed(session), Revision.ABSENT),
                ) +
                    more,
                listOf(
                    Write.Drop(DrmaaKeys.session(session)),
                    Write.Put(
                        DrmaaKeys.closed(session),
                        linkedMapOf(
                            "team" to record.team.text,
                            "why" to why,
                            "at" to wallClock.now().ms,
                            "left" to left,
                        ),
                    ),
                ),
                RequestPriority.RECORD,
            )
            when (outcome) {
                is CommitOutcome.Committed -> {
                    log.info("session closed session={} team={} why={} left={}", session, record.team, why, left)
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
        const val TRIES = 3
        val TOUCH_EVERY = 1.hours
    }
}
