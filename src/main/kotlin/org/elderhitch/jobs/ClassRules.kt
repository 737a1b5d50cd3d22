package org.elderhitch.jobs

/** What a deployment permits for jobs of one class. */
public data class ClassRule(
    /** Whether a job of the class may be submitted as a repeat of an earlier one. */
    val allowsRepeats: Boolean = true,
    /** The number of failed or lost attempts of one task at which its job is put on hold; null: no limit. */
    val maxAttempts: Int? = null,
)

/** The rules of a deployment by job class; the defaults of [ClassRule] apply to a class without a rule. */
public class ClassRules(private val rules: Map<String, ClassRule>) {
    /** Whether any class has a rule. */
    public val hasRules: Boolean get() = rules.isNotEmpty()

    public fun of(jobClass: String): ClassRule = rules[jobClass] ?: DEFAULT

    /** Why the job may not repeat an earlier one; null if it may or repeats none. Every way of submission checks it. */
    public fun repeatDenial(spec: JobSpec): String? {
        if (spec.repeatOf == null || of(spec.jobClass).allowsRepeats) return null
        return "repeatOf: class ${spec.jobClass} has the rule repeats = false"
    }

    public companion object {
        private val DEFAULT = ClassRule()
        public val NONE: ClassRules = ClassRules(emptyMap())
    }
}
