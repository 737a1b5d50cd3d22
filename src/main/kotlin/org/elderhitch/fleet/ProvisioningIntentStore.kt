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
 * The provisioning intents, as the state service holds them and as this term works with them. Each write is conditional
 * on the term and on the version of the intent that it replaces.
 */
internal class ProvisioningIntentStore(
    private val scope: CoroutineScope,
    private val store: StateClient,
    private val leadership: (LeadershipMessage) -> Unit,
    private val tell: (FleetMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")

    /** What a write puts, taken from the intent before the write begins. */
    private class Content(intent: ProvisioningIntent) {
        val value: Map<String, Any?> = intent.encode()
        private val machines = intent.machines
        private val up = intent.recordedUp + intent.pendingUp

        fun isThatOf(stored: ProvisioningIntent): Boolean = stored.machines == machines && stored.recordedUp == up
    }

    private sealed interface WriteAttempt {
        /** The write was executed with that [version]; null: it never will be. */
        class Finished(val version: Revision?) : WriteAttempt

        data object Retry : WriteAttempt
    }

    /**
     * What the state service holds, followed in every role: a leader that was paused hears of its successors' intents
     * before it hears that it leads no more, and in its next term must know the machines that run their tasks.
     */
    private val stored = LinkedHashMap<String, Entry>()

    /** What this term works with. */
    private val working = LinkedHashMap<String, ProvisioningIntent>()
    private var compactedAt = MonotonicInstant.NEVER

    val all: Collection<ProvisioningIntent> get() = working.values

    /** The intents whose machines are not known yet. */
    val open: List<ProvisioningIntent> get() = working.values.filter { it.machines == null }

    operator fun get(name: String?): ProvisioningIntent? = working[name]

    /** Replaces what is known of the state service. */
    fun snapshot(entries: List<Entry>) {
        stored.clear()
        entries.forEach(::put)
    }

    /** Applies a change of the state service; keys of other kinds are ignored. */
    fun changed(change: Change) {
        when (change) {
            is Change.Put -> put(change.entry)

            is Change.Drop -> (Keys.parse(change.key) as? StoredKey.ProvisioningIntent)?.let {
                stored.remove(it.name)
            }
        }
    }

    private fun put(entry: Entry) {
        val key = Keys.parse(entry.key) as? StoredKey.ProvisioningIntent ?: return
        stored[key.name] = entry
    }

    /** Begins a term with all that is stored: earlier terms may have sent the requests of any of these intents. */
    fun loadStored() {
        working.clear()
        for ((name, entry) in stored) decoded(name, entry)?.let { working[name] = it }
        working.values.forEach { it.wasRequested = true }
    }

    private fun decoded(name: String, entry: Entry): ProvisioningIntent? = try {
        ProvisioningIntent.decode(name, entry.value, entry.version)
    } catch (e: MalformedJson) {
        log.error("intent malformed name={} reason=\"{}\"", name, e.message)
        null
    }

    /** Stores a new intent; the outcome arrives as [FleetMessage.IntentRecorded]. */
    fun add(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        intent.startRecording()
        working[intent.name] = intent
        write(leadership, intent) { version -> FleetMessage.IntentRecorded(leadership.term, intent.name, version) }
    }

    /** Deletes an intent, in the background and without a retry: a later term settles one that stays. */
    fun delete(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        working.remove(intent.name)
        scope.launch {
            store.commit(
                listOf(Condition(Keys.TERM, leadership.termRevision)),
                listOf(Write.Drop(Keys.provisioningIntent(intent.name))),
                RequestPriority.OTHER,
                WRITE_TIMEOUT,
            )
        }
    }

    /** Stores the names of the intent's machines; the outcome arrives as [FleetMessage.IntentRecorded]. */
    fun recordMachines(leadership: LeadershipState.Leader, intent: ProvisioningIntent) =
        write(leadership, intent) { version -> FleetMessage.IntentRecorded(leadership.term, intent.name, version) }

    /** Stores which machines are up; the outcome arrives as [FleetMessage.MachineUpRecorded]. */
    fun recordUp(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        intent.isRecordingUp = true
        val written = intent.pendingUp.toSet()
        write(leadership, intent) { version ->
            FleetMessage.MachineUpRecorded(leadership.term, intent.name, written, version != null)
        }
    }

    /**
     * Rewrites an intent that names machines which do not [exist] any more: one at a time, to leave the write rate to
     * others. Otherwise each later takeover would wait for these machines and terminate them again.
     */
    fun compact(leadership: LeadershipState.Leader, now: MonotonicInstant, exist: (MachineId) -> Boolean) {
        if (now - compactedAt < COMPACT_INTERVAL) return
        val intent = working.values.firstOrNull { it.isOutdated && it.isIdle && !it.isRecordingUp } ?: return
        compactedAt = now
        intent.retainMachines(exist)
        recordUp(leadership, intent)
    }

    private fun write(
        leadership: LeadershipState.Leader,
        intent: ProvisioningIntent,
        onResult: (Revision?) -> FleetMessage,
    ) {
        val content = Content(intent)
        scope.launch { tell(onResult(writeWithRetries(leadership, intent, content))) }
    }

    /** Returns the revision of the write; null if it was not executed as far as is known. */
    private suspend fun writeWithRetries(
        leadership: LeadershipState.Leader,
        intent: ProvisioningIntent,
        content: Content,
    ): Revision? {
        repeat(WRITE_ATTEMPTS) {
            val attempt = attemptWrite(leadership, intent, content)
            if (attempt is WriteAttempt.Finished) return attempt.version
        }
        return null
    }

    private suspend fun attemptWrite(
        leadership: LeadershipState.Leader,
        intent: ProvisioningIntent,
        content: Content,
    ): WriteAttempt {
        val key = Keys.provisioningIntent(intent.name)
        // Conditional on the version too: a write without an answer was once executed 30 s later, over a newer one that
        // recorded machines as up; the next term took these for booting and started their tasks elsewhere.
        val outcome = store.commit(
            listOf(Condition(Keys.TERM, leadership.termRevision), Condition(key, intent.version)),
            listOf(Write.Put(key, content.value)),
            RequestPriority.END,
            WRITE_TIMEOUT,
        )
        return when {
            outcome is CommitOutcome.Committed -> {
                intent.version = outcome.revision
                WriteAttempt.Finished(outcome.revision)
            }

            outcome is CommitOutcome.Conflict && Keys.TERM in outcome.failed -> {
                log.info("intent refused term={} reason=\"the counter has moved on\"", leadership.term)
                this.leadership(LeadershipMessage.TermObserved(Term(leadership.term.number + 1)))
                WriteAttempt.Finished(null)
            }

            outcome is CommitOutcome.Conflict -> resolveConflict(key, intent, content)

            else -> {
                delay(WRITE_PAUSE)
                WriteAttempt.Retry
            }
        }
    }

    /**
     * The version was not the expected one: an earlier attempt of this term was executed after all. It wrote this very
     * content, or an earlier one whose version is then the one to replace. Two contents of an intent are never written
     * at the same time within a term, as each write begins only after the outcome of the one before.
     */
    private suspend fun resolveConflict(key: String, intent: ProvisioningIntent, content: Content): WriteAttempt {
        when (val read = store.read(key, RequestPriority.END)) {
            is ReadOutcome.Found -> {
                val version = read.entry.version
                intent.version = version
                val isWritten = decoded(intent.name, read.entry)?.let(content::isThatOf) ?: false
                if (isWritten) return WriteAttempt.Finished(version)
            }

            ReadOutcome.Absent -> intent.version = Revision.ABSENT

            ReadOutcome.Unavailable -> delay(WRITE_PAUSE)
        }
        return WriteAttempt.Retry
    }

    companion object {
        /** The pause before a write is tried again. */
        val WRITE_PAUSE = 500.milliseconds
        private val COMPACT_INTERVAL = 500.milliseconds
        private const val WRITE_ATTEMPTS = 4
        private val WRITE_TIMEOUT = 3.seconds
    }
}
