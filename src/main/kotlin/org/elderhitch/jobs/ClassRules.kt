package org.elderhitch.jobs

/** What a deployment allows to jobs of one class. */
public data class ClassRule(
    /** Whether a job of the class may be submitted as a repeat of an earlier one. */
    val allowsRepeats: Boolean = true,
    /** How many attempts of a task may be lost or fail before its job is held; null: no limit. */
    val maxAttempts: Int? = null,
)

/** The rules of a deployment by job class; a class without a rule has the defaults of [ClassRule]. */
public class ClassRules(private val rules: Map<String, ClassRule>) {
    /** Whether any class has a rule. */
    public val any: Boolean get() = rules.isNotEmpty()

    public fun of(jobClass: String): ClassRule = rules[jobClass] ?: DEFAULT

    /** Why the job may not repeat an earlier one; null: it may, or is no repeat. Each way of submitting asks here. */
    public fun repeatDenial(spec: JobSpec): String? {
        if (spec.repeatOf == null || of(spec.jobClass).allowsRepeats) return null
        return "repeatOf: class ${spec.jobClass} has the rule repeats = false"
    }

    public companion object {
        private val DEFAULT = ClassRule()
        public val NONE: ClassRules = ClassRules(emptyMap())
    }
}
