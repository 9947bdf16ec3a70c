//! Transfer of per-class statistics when the settings change.

/// Returns one value for each new class: the value of the previous class that it inherits from, or else
/// `initial(class)`.
pub(crate) fn inherit<T: Clone>(
    previous: &[T], inherits_from: &[Option<usize>], initial: impl Fn(usize) -> T,
) -> Vec<T> {
    let value = |(class, source): (usize, &Option<usize>)| {
        source.and_then(|source| previous.get(source).cloned()).unwrap_or_else(|| initial(class))
    };
    inherits_from.iter().enumerate().map(value).collect()
}
