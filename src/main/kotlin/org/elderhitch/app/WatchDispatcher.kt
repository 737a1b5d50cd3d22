package org.elderhitch.app

import org.elderhitch.features.FeatureSet
import org.elderhitch.fleet.CatalogRefresher
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.ProvisioningActor
import org.elderhitch.jobs.JobMessage
import org.elderhitch.jobs.JobRegistry
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.scheduler.SchedulerActor
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.Revision
import org.elderhitch.store.StateWatchListener
import org.elderhitch.tasks.ImageHints
import org.elderhitch.time.MonotonicInstant

/** Dispatches the snapshots and changes of the state watch to the components of the controller that use them. */
internal class WatchDispatcher(
    private val jobRegistry: JobRegistry,
    private val provisioning: ProvisioningActor,
    private val catalog: CatalogRefresher,
    private val scheduler: SchedulerActor,
    private val leadership: Leadership,
    private val features: () -> FeatureSet,
    /** Called with the reason when an entry requires a feature that is disabled. */
    private val onMissingFeature: (String) -> Unit,
) : StateWatchListener {
    override fun snapshot(entries: List<Entry>, revision: Revision) {
        features().unmetRequirement(entries)?.let(onMissingFeature)
        jobRegistry.tell(JobMessage.Snapshot(entries, revision))
        provisioning.tell(FleetMessage.Snapshot(entries))
        features().onSnapshot(entries)
        entries.firstOrNull { it.key == Keys.TYPES }?.let { catalog.stored(it) }
        entries.firstOrNull { it.key == Keys.IMAGES }?.let { loadImageHints(it) }
        leadership.tell(LeadershipMessage.LeaderObserved(entries.firstOrNull { it.key == Keys.LEADER }))
    }

    override fun changed(changes: List<Change>, revision: Revision) {
        if (changes.isEmpty()) return
        features().unmetRequirement(changes.mapNotNull(::newEntry))?.let(onMissingFeature)
        jobRegistry.tell(JobMessage.Changed(changes))
        provisioning.tell(FleetMessage.Changed(changes))
        features().onChanges(changes)
        changes.lastOrNull { it.key == Keys.IMAGES }?.let(::newEntry)?.let(::loadImageHints)
        val leaderChange = changes.lastOrNull { it.key == Keys.LEADER } ?: return
        leadership.tell(LeadershipMessage.LeaderObserved(newEntry(leaderChange)))
    }

    /** Sent through the job registry, like the changes, so that it reaches the scheduler after them. */
    override fun freshAsOf(since: MonotonicInstant) = jobRegistry.tell(JobMessage.FreshnessConfirmed(since))

    /** Null if the change deletes the key. */
    private fun newEntry(change: Change): Entry? = (change as? Change.Put)?.entry

    private fun loadImageHints(entry: Entry) =
        scheduler.tell(SchedulerMessage.ImageHintsLoaded(ImageHints.decode(entry.value)))
}
