package org.elderhitch.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.store.Change
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.ReadOutcome
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.StoredKey
import org.elderhitch.store.Write
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The intents to rent, as the state service holds them and as this term works with them; each write is conditional on
 * the term and on what it replaces.
 */
internal class ProvisioningIntentStore(
    private val scope: CoroutineScope,
    private val store: StateClient,
    private val leadership: (LeadershipMessage) -> Unit,
    private val tell: (FleetMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")

    /**
     * What the state service holds, in every role: a leader that stood still hears of its successors' intents before it
     * hears that it leads no more. Not to take them then was to miss machines with tasks on them in its next term.
     */
    private val recorded = LinkedHashMap<String, Entry>()

    /** What this term works with. */
    private val working = LinkedHashMap<String, ProvisioningIntent>()
    private var shortenedAt = MonotonicInstant.NEVER

    val all: Collection<ProvisioningIntent> get() = working.values

    /** Whose machines' names are not recorded yet. */
    val open: List<ProvisioningIntent> get() = working.values.filter { it.machines == null }

    operator fun get(name: String?): ProvisioningIntent? = working[name]

    fun snapshot(entries: List<Entry>) {
        recorded.clear()
        entries.forEach(::put)
    }

    fun changed(change: Change) {
        when (change) {
            is Change.Put -> put(change.entry)
            is Change.Drop -> (Keys.subject(change.key) as? StoredKey.ProvisioningIntent)?.let {
                recorded.remove(it.name)
            }
        }
    }

    private fun put(entry: Entry) {
        val subject = Keys.subject(entry.key) as? StoredKey.ProvisioningIntent ?: return
        recorded[subject.name] = entry
    }

    /** Works with what is recorded from now on: all that earlier terms may have asked for. */
    fun take() {
        working.clear()
        for ((name, entry) in recorded) decoded(name, entry)?.let { working[name] = it }
        working.values.forEach { it.asked = true }
    }

    private fun decoded(name: String, entry: Entry): ProvisioningIntent? = try {
        ProvisioningIntent.decode(name, entry.value, entry.version)
    } catch (e: MalformedJson) {
        log.error("intent malformed name={} reason=\"{}\"", name, e.message)
        null
    }

    fun add(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        intent.busy = true
        working[intent.name] = intent
        write(leadership, intent) { version -> FleetMessage.IntentRecorded(leadership.term, intent.name, version) }
    }

    fun forget(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        working.remove(intent.name)
        scope.launch {
            store.commit(
                listOf(Condition(Keys.TERM, leadership.termRevision)),
                listOf(Write.Drop(Keys.provisioningIntent(intent.name))),
                RequestPriority.OTHER,
                WRITE_PATIENCE,
            )
        }
    }

    /** The names of its machines are known; what becomes of it comes back as [FleetMessage.IntentRecorded]. */
    fun recordNames(leadership: LeadershipState.Leader, intent: ProvisioningIntent) =
        write(leadership, intent) { version -> FleetMessage.IntentRecorded(leadership.term, intent.name, version) }

    /** What becomes of it comes back as [FleetMessage.MachineUpRecorded]. */
    fun writeUp(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        intent.writingUp = true
        val written = intent.cameUp.toSet()
        write(leadership, intent) { version ->
            FleetMessage.MachineUpRecorded(leadership.term, intent.name, written, version != null)
        }
    }

    /**
     * Takes machines that are gone out of their intents, one intent at a time: the rest of the writes is for others.
     * Left
     * in, each takeover for the rest of the day waited for their word and returned them once more.
     */
    fun shorten(leadership: LeadershipState.Leader, now: MonotonicInstant, there: (MachineId) -> Boolean) {
        if (now - shortenedAt < SHORTEN_EVERY) return
        val intent = working.values.firstOrNull { it.outdated && !it.busy && !it.writingUp } ?: return
        shortenedAt = now
        intent.shorten(there)
        writeUp(leadership, intent)
    }

    private fun write(
        leadership: LeadershipState.Leader,
        intent: ProvisioningIntent,
        then: (Revision?) -> FleetMessage,
    ) {
        val value = intent.encode()
        val machines = intent.machines
        val up = intent.up + intent.cameUp
        val key = Keys.provisioningIntent(intent.name)
        scope.launch {
            var result: Revision? = null
            for (attempt in 0 until WRITE_TRIES) {
                // Conditional on the version too. Seen in a test: a write without an answer was carried out 30 s later,
                // over a newer one that
                // said which machines were up; the next term took those for booting and started their tasks elsewhere.
                val outcome = store.commit(
                    listOf(Condition(Keys.TERM, leadership.termRevision), Condition(key, intent.version)),
                    listOf(Write.Put(key, value)),
                    RequestPriority.END,
                    WRITE_PATIENCE,
                )
                if (outcome is CommitOutcome.Committed) {
                    intent.version = outcome.revision
                    result = outcome.revision
                    break
                }
                if (outcome is CommitOutcome.Conflict) {
                    if (Keys.TERM in outcome.failed) {
                        log.info("intent refused term={} reason=\"the counter has moved on\"", leadership.term)
                        leadership(LeadershipMessage.TermObserved(Term(leadership.term.number + 1)))
                        break
                    }
                    // An earlier try of this term came through after all: this very one, or an earlier content, whose
                    // version is the one to replace. No two
                    // contents of an intent are under way at once in a term: each write begins when the one before has
                    // told what came of it.
                    when (val read = store.read(key, RequestPriority.END)) {
                        is ReadOutcome.Found -> {
                            intent.version = read.entry.version
                            if (decoded(intent.name, read.entry)?.let { it.machines == machines && it.up == up } ==
                                true
                            ) {
                                result = read.entry.version
                                break
                            }
                        }

                        ReadOutcome.Absent -> intent.version = Revision.ABSENT

                        ReadOutcome.Unavailable -> delay(WRITE_PAUSE)
                    }
                    continue
                }
                delay(WRITE_PAUSE)
            }
            tell(then(result))
        }
    }

    companion object {
        private val SHORTEN_EVERY = 500.milliseconds
        private const val WRITE_TRIES = 4
        private val WRITE_PATIENCE = 3.seconds
        val WRITE_PAUSE = 500.milliseconds
    }
}
